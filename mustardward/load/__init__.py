"""Put bounded load on entries and measure their answers."""
