"""Time limits of watches between nodes and control machines, in seconds.

After a network partition ends, a node must apply what it missed within 6 s. At worst its watch has just become silent:
2.8 s until that is noticed, 0.4 s backoff, 1.2 s to the first line, of which 0.7 s to connect, together 4.4 s. It takes
1.1 s more where the next machine of the node's order is lost and does not even refuse the connection.
"""

KEEPALIVE_INTERVAL_S = 2.0  # between the empty lines on each watch
WATCH_IDLE_TIMEOUT_S = 2.8  # a watch without a line for so long is closed
RECONNECT_BACKOFF_S = 0.4  # upper bound of the wait before the next attempt
MIN_BACKOFF_SHARE = 0.25  # the least wait, as a share of that bound
CONNECT_TIMEOUT_S = 0.7  # of watches and calls
FIRST_LINE_TIMEOUT_S = 1.2  # from the start of the attempt, the connection included
