"""Development tools, outside the package."""
