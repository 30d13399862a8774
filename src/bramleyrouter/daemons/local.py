"""Start ``bramley-local``."""

from bramleyrouter.daemons.launching import STDERR, launch


def main() -> None:
    """Run ``bramley-local`` until SIGTERM or SIGINT."""
    launch("bramley-local", "bramleyrouter.daemons.local_edition", STDERR)


if __name__ == "__main__":
    main()
