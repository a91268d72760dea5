"""General-purpose code; a helper imports no component."""
