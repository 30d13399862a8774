"""Configuration and submission ledger on top of the replicated log."""
