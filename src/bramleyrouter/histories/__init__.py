"""Histories of concurrent runs, and checkers of the system's guarantees."""
