"""Start ``bramley-entry``."""

from bramleyrouter.daemons.launching import STDERR, launch


def main() -> None:
    """Run ``bramley-entry`` until SIGTERM or SIGINT."""
    launch("bramley-entry", "bramleyrouter.daemons.entry_daemon", STDERR)


if __name__ == "__main__":
    main()
