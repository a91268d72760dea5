"""Stand-ins of the platform: its list of servers and its servers."""
