"""What the programs and plug-ins are built on."""
