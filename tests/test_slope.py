"""Figures by size: fitted lines, values at the planned size, figures, table rows and charts."""

import pytest

from marlseam.experiment import slope, slope_chart
from marlseam.experiment.slope import Point, Slope


def test_points_on_a_line_fit_that_line_without_error():
    found = slope.fit([(n, 3.0 + 0.25 * n) for n in (300, 1000, 3000, 10000, 21000)])
    assert found.a == pytest.approx(3.0)
    assert found.b == pytest.approx(0.25)
    assert found.max_relative_error == pytest.approx(0.0, abs=1e-9)


def test_smallest_sizes_weigh_as_much_as_the_largest_in_the_fit():
    points = [(n, 1.0 + 0.001 * n) for n in (10, 100, 1000)] + [(10000, 22.0)]
    found = slope.fit(points)
    assert abs(found.at(10) - 1.01) < 0.2  # unweighted least squares would follow the last point alone
    assert found.max_relative_error > 0.1


def test_points_on_a_curve_give_a_large_relative_error():
    assert slope.fit([(n, float(n * n)) for n in (100, 300, 1000, 3000, 10000)]).max_relative_error > 0.5


def test_points_of_one_size_or_of_value_zero_fit_a_flat_line_and_no_points_raise():
    assert slope.fit([(5, 2.0), (5, 2.0)]) == (2.0, 0.0, 0.0)
    assert slope.fit([(5, 0.0), (50, 0.0)]) == (0.0, 0.0, 0.0)
    with pytest.raises(ValueError, match="cannot fit a line: no points"):
        slope.fit([])


def turn_slope(bound: float | None = None, full: float = 1000.0) -> Slope:
    points = [Point(10.0, 1.0), Point(100.0, 2.0), Point(1000.0, 12.0)]
    return Slope("turn_ms", "ms", "hollow", points, full, bound)


def test_value_at_the_planned_size_is_the_measured_one_or_else_the_fitted_one():
    assert turn_slope().value == 12.0
    assert turn_slope().ratio is None
    assert turn_slope(6.0).ratio == 2.0
    assert turn_slope(full=10000.0).value == pytest.approx(turn_slope().fit.at(10000.0))


def test_slopes_give_figures_and_rows_ordered_by_ratio_to_their_bounds():
    found = slope.figures([turn_slope(6.0)])
    assert found["turn_ms_10"] == 1.0
    assert found["turn_ms_over"] == 2.0
    assert found["turn_ms_full"] == 12.0
    rows = slope.rows([turn_slope(), turn_slope(24.0), turn_slope(6.0)])
    assert [row[-1] for row in rows[1:]] == ["2", "0.5", "-"]


def test_chart_draws_points_and_bound_and_is_empty_without_positive_values():
    drawn = slope_chart.slope_chart(turn_slope(6.0))
    assert drawn.count("<circle") == 3
    assert "bound 6" in drawn
    assert "largest miss" in drawn
    assert "bound" not in slope_chart.slope_chart(turn_slope())
    assert "<svg" in slope_chart.slope_chart(turn_slope())
    nothing = Slope("none", "ms", "hollow", [Point(10.0, 0.0)], 100.0)
    assert slope_chart.slope_chart(nothing) == ""
