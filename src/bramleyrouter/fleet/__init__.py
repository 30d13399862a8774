"""What entry daemons know of the fleet, streamed from every control daemon."""
