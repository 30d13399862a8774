"""Permits for requests that count against a bound of all entry daemons together."""
