"""Stand-ins for the platform's server list and its servers."""
