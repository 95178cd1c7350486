"""Timeouts of the watches between nodes and control machines, in seconds.

A node must apply missed changes within 6 s after a network partition ends. The worst case is 4.4 s: 2.8 s to detect the
idle watch, 0.4 s backoff, and 1.2 s to connect and receive the first line. If the next machine is also lost and its
connection attempt times out, 0.7 s for that attempt and 0.4 s for another backoff are added.
"""

KEEPALIVE_INTERVAL_S = 2.0  # interval between the empty lines on each watch
WATCH_IDLE_TIMEOUT_S = 2.8  # a watch without a line for this long is closed
RECONNECT_BACKOFF_S = 0.4  # upper bound of the wait before the next attempt
MIN_BACKOFF_SHARE = 0.25  # lower bound of that wait, as a share of `RECONNECT_BACKOFF_S`
CONNECT_TIMEOUT_S = 0.7  # time limit for connecting, for watches and calls
FIRST_LINE_TIMEOUT_S = 1.2  # time limit from the connection attempt to the first line
