"""Open-loop load: what is sent goes out at its intended time, whatever comes back."""
