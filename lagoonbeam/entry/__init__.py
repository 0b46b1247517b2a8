"""The resident program that serves callers and operators over HTTP."""
