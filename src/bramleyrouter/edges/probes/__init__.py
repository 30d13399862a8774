"""HTTP interface of the platform: liveness, readiness and metrics."""
