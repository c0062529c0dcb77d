"""Settings of all tests: property tests repeat and have no time limit."""

import hypothesis

hypothesis.settings.register_profile('ci', derandomize=True, deadline=None)
hypothesis.settings.load_profile('ci')
