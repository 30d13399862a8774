"""Let entry daemons act as homes of backend servers.

The home of a backend server is the one entry daemon through which all requests
reach that server. The server announces itself to its home and renews a lease there;
the home admits, queues and dispatches requests within the server's limits, raises
the limit gradually after a cold start, and hands the server over to another home
when its daemon stops.

``Homes`` is the component of an entry daemon that does this for all servers whose
home is the daemon; "the homes" stands for this component.
"""
