"""Main function of the entry daemon on the platform."""

from bramleyrouter.platform.programs import main

if __name__ == "__main__":
    main("entry")
