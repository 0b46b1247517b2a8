"""Stand-ins for the platform's services: log, workers, instance list, network.

They import nothing from lagoonbeam and talk to it only over HTTP and TCP.
"""
