"""Small backend server for the local edition, tests and measurements."""
