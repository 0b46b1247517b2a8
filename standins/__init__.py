"""Small stand-ins for the platform: log, workers, instance list, network.

They import nothing of the package; they meet it over HTTP and TCP only.
"""
