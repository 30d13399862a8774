"""Query path of an entry daemon: admission, replica choice and execution.

The home of a backend server is the one daemon through which the server is
reached. Attempts are therefore sent to homes, in one batch for each home.
"""
