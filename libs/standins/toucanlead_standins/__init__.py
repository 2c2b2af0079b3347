"""Small fakes of the platform and the back ends, and the recorder that judges."""
