"""Modules shared by the programs and the plug-ins."""
