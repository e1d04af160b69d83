"""When the advice service is asked, and about which workers."""
