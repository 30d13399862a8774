"""Start the control daemon of the platform."""

from bramleyrouter.daemons.launching import launch

if __name__ == "__main__":
    launch("platform.control", "bramleyrouter.platform.control_daemon")
