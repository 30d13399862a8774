"""Receive announcements of backend servers and send requests to them by HTTP."""
