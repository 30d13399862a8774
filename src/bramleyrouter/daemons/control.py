"""Start ``bramley-control``."""

from bramleyrouter.daemons.launching import STDERR, launch


def main() -> None:
    """Run ``bramley-control`` until SIGTERM or SIGINT."""
    launch("bramley-control", "bramleyrouter.daemons.control_daemon", STDERR)


if __name__ == "__main__":
    main()
