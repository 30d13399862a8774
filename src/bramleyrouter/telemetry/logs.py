"""Set up the logs of a program.

absl's own flags are not parsed: the programs take their arguments through
``argparse``, and the level of the logs comes from the settings. absl would
otherwise warn that it logs before its flags are parsed.
"""

from absl import flags, logging


def configure_logging(level: str) -> None:
    """Write logs of ``level`` ("debug" to "error") and above to stderr."""
    if not flags.FLAGS.is_parsed():
        flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(getattr(logging, level.upper()))
    logging.set_stderrthreshold("debug")
