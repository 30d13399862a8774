"""Configure logging.

The programs parse their arguments with ``argparse`` and read the log level from
the settings, so absl's own flags are marked as parsed. Otherwise absl would warn
about logging before flag parsing.
"""

from absl import flags, logging


def configure_logging(level: str) -> None:
    """Write logs of ``level`` ("debug" to "error") and above to stderr."""
    if not flags.FLAGS.is_parsed():
        flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(getattr(logging, level.upper()))
    logging.set_stderrthreshold("debug")
