"""Communication between proxies. Imports only `rosemaryward.decisions`."""
