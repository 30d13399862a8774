"""Start the entry daemon of the platform."""

from bramleyrouter.daemons.launching import launch

if __name__ == "__main__":
    launch("platform.entry", "bramleyrouter.platform.entry_daemon")
