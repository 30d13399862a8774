"""Main function of the control daemon on the platform."""

from bramleyrouter.platform.programs import main

if __name__ == "__main__":
    main("control")
