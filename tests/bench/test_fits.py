from __future__ import annotations

import unittest

from bench._fits import fit_line


class FitLineTest(unittest.TestCase):
    def test_collinear_points_have_no_slope_error(self):
        fit = fit_line([1, 2, 4], [5, 7, 11])
        self.assertAlmostEqual(fit.slope, 2)
        self.assertAlmostEqual(fit.predict(10), 23)
        self.assertAlmostEqual(fit.slope_error, 0)

    def test_scattered_points_give_a_large_slope_error(self):
        self.assertGreater(fit_line([1, 2, 3], [1, 5, 3]).slope_error, 0.5)
