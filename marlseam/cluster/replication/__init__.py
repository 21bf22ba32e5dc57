"""Agreement on configuration versions, and how they spread."""
