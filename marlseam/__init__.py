"""marlseam: a request dispatcher whose nodes push requests to servers by forward probing."""

__version__ = "0.1.0"
