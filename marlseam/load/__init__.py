"""Open-loop load generation: each request is sent at its intended time, whatever the answers."""
