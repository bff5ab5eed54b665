//! The plots of the page.

use super::capacity_model::CapacityModel;
use super::fit::Predictor;
use super::{PageError, Run};
use plotters::prelude::*;
use std::path::{Path, PathBuf};

/// An error in drawing a plot.
pub(crate) type DrawError = DrawingAreaErrorKind<std::io::Error>;

/// A chart with logarithmic axes.
type Chart<'a> = ChartContext<'a, SVGBackend<'a>, Cartesian2d<LogCoord<f64>, LogCoord<f64>>>;

/// The horizontal axis, from the smallest to the largest size for which the model is drawn.
#[derive(Clone, Copy)]
struct SizeAxis {
    label: &'static str,
    from: f64,
    to: f64,
    /// The target size, which is expected in two years.
    target: f64,
}

impl SizeAxis {
    const fn daemons() -> Self {
        Self {
            label: "daemons",
            from: 40.0,
            to: 900.0,
            target: 740.0,
        }
    }

    const fn functions(label: &'static str) -> Self {
        Self {
            label,
            from: 150.0,
            to: 18_000.0,
            target: 15_000.0,
        }
    }

    /// Returns the values of a model at sizes in even logarithmic steps.
    fn model_line(self, value_at: impl Fn(f64) -> f64) -> Vec<(f64, f64)> {
        (0..=60)
            .map(|step| self.from * (self.to / self.from).powf(f64::from(step) / 60.0))
            .map(|size| (size, value_at(size)))
            .collect()
    }
}

/// The vertical axis, with the budget, which is drawn as a horizontal line.
#[derive(Clone, Copy)]
struct ValueAxis {
    label: &'static str,
    budget: f64,
    budget_name: &'static str,
}

const HEARTBEAT_BYTES: ValueAxis = ValueAxis {
    label: "bytes a second, sent and heard",
    budget: 5_000.0,
    budget_name: "5 KB/s",
};
const PROCESSOR_TIME: ValueAxis = ValueAxis {
    label: "microseconds a second",
    budget: 1e6,
    budget_name: "one core",
};
const CHANGE_TIME: ValueAxis = ValueAxis {
    label: "milliseconds",
    budget: 5_000.0,
    budget_name: "5 s",
};

/// A plot of measured and predicted values by size, with logarithmic axes.
struct Plot {
    file: &'static str,
    title: &'static str,
    sizes: SizeAxis,
    values: ValueAxis,
    /// The measured values by size.
    points: Vec<(f64, f64)>,
    /// The values of the model by size.
    line: Vec<(f64, f64)>,
}

/// The rate of changes for which the models are drawn: that of a measurement with the default options, four changes in
/// ten seconds.
const CHANGES_PER_SECOND: f64 = 0.4;

/// Returns the values of the predictors at a fleet size, with a fixed rate of changes.
fn predictors_at(daemons: f64, functions: f64, held: f64) -> impl Fn(Predictor) -> f64 {
    move |predictor| match predictor {
        Predictor::One => 1.0,
        Predictor::Daemons => daemons,
        Predictor::Functions => functions,
        Predictor::Held | Predictor::Instances => held,
        Predictor::HeldPerDaemon => held / daemons,
        Predictor::DaemonsSquared => daemons * daemons,
        Predictor::Changes => CHANGES_PER_SECOND,
        Predictor::ChangedFunctions => CHANGES_PER_SECOND * functions,
    }
}

fn change_time_ms(run: &Run) -> Option<f64> {
    run.change_times().map(|times| times.total_ms())
}

/// Draws all plots into a folder, and returns the paths of the files.
///
/// # Errors
/// Fails if a plot cannot be drawn.
pub fn draw_plots(folder: &Path, runs: &[Run]) -> Result<Vec<PathBuf>, PageError> {
    let model = CapacityModel::fit(runs);
    let series = Series::from_runs(runs);
    let plots = [
        heartbeats_by_daemons(&model, &series),
        leader_by_daemons(&model, &series),
        leader_by_functions(&model, &series),
        change_time_by_daemons(&model, &series),
        change_time_by_functions(&model, &series),
    ];
    plots.iter().map(|plot| plot.draw(folder)).collect()
}

/// Selections of the baseline runs in which only one size varies.
struct Series<'a> {
    /// The runs with 200 functions.
    by_daemons: Vec<&'a Run>,
    /// The runs with 50 daemons and every function held.
    by_held: Vec<&'a Run>,
    /// The runs with 50 daemons and 200 functions held.
    by_functions: Vec<&'a Run>,
}

impl<'a> Series<'a> {
    fn from_runs(runs: &'a [Run]) -> Self {
        let select = |is_selected: fn(&Run) -> bool| {
            runs.iter()
                .filter(|run| run.is_baseline() && is_selected(run))
                .collect()
        };
        Self {
            by_daemons: select(|run| run.number("functions") == 200.0),
            by_held: select(|run| {
                run.daemons() == 50.0
                    && run.number("runners") == 1.0
                    && run.number("functions") == run.number("held_wanted")
            }),
            by_functions: select(|run| run.daemons() == 50.0 && run.number("held_wanted") == 200.0),
        }
    }
}

/// Returns the points of the runs that have a value.
fn points(
    runs: &[&Run],
    size_of: impl Fn(&Run) -> f64,
    value_of: impl Fn(&Run) -> Option<f64>,
) -> Vec<(f64, f64)> {
    runs.iter()
        .filter_map(|run| Some((size_of(run), value_of(run)?)))
        .collect()
}

fn heartbeats_by_daemons(model: &CapacityModel, series: &Series<'_>) -> Plot {
    let sizes = SizeAxis::daemons();
    let bytes_at = |daemons| {
        model
            .heartbeat_bytes
            .model
            .at(predictors_at(daemons, 200.0, 200.0))
    };
    Plot {
        file: "bytes-at-a-daemon.svg",
        title: "Heartbeat bytes at a daemon",
        sizes,
        values: HEARTBEAT_BYTES,
        points: points(&series.by_daemons, Run::daemons, |run| {
            Some(run.heartbeat_bytes())
        }),
        line: sizes.model_line(bytes_at),
    }
}

fn leader_by_daemons(model: &CapacityModel, series: &Series<'_>) -> Plot {
    let sizes = SizeAxis::daemons();
    let processor_time_at =
        |daemons| model.leader_processor_time(&predictors_at(daemons, 200.0, 200.0));
    Plot {
        file: "leader-by-daemons.svg",
        title: "Processor time at the leader, 200 functions",
        sizes,
        values: PROCESSOR_TIME,
        points: points(&series.by_daemons, Run::daemons, |run| {
            Some(run.leader_processor_time())
        }),
        line: sizes.model_line(processor_time_at),
    }
}

fn leader_by_functions(model: &CapacityModel, series: &Series<'_>) -> Plot {
    let sizes = SizeAxis::functions("functions held, one runner each");
    let processor_time_at =
        |functions| model.leader_processor_time(&predictors_at(50.0, functions, functions));
    Plot {
        file: "leader-by-functions.svg",
        title: "Processor time at the leader, 50 daemons, every function held",
        sizes,
        values: PROCESSOR_TIME,
        points: points(
            &series.by_held,
            |run| run.number("held"),
            |run| Some(run.leader_processor_time()),
        ),
        line: sizes.model_line(processor_time_at),
    }
}

fn change_time_by_daemons(model: &CapacityModel, series: &Series<'_>) -> Plot {
    let sizes = SizeAxis::daemons();
    let change_time_at = |daemons| model.change_in_force_ms(&predictors_at(daemons, 200.0, 200.0));
    Plot {
        file: "force-by-daemons.svg",
        title: "A change in force, 200 functions",
        sizes,
        values: CHANGE_TIME,
        points: points(&series.by_daemons, Run::daemons, change_time_ms),
        line: sizes.model_line(change_time_at),
    }
}

fn change_time_by_functions(model: &CapacityModel, series: &Series<'_>) -> Plot {
    let sizes = SizeAxis::functions("functions in the spec");
    let change_time_at =
        |functions| model.change_in_force_ms(&predictors_at(50.0, functions, 200.0));
    Plot {
        file: "force-by-functions.svg",
        title: "A change in force, 50 daemons, 200 functions held",
        sizes,
        values: CHANGE_TIME,
        points: points(
            &series.by_functions,
            |run| run.number("functions"),
            change_time_ms,
        ),
        line: sizes.model_line(change_time_at),
    }
}

impl Plot {
    fn draw(&self, folder: &Path) -> Result<PathBuf, PageError> {
        let path = folder.join(self.file);
        let drawn = self.draw_at(&path);
        drawn.map_err(|error| PageError::Plot(path.clone(), error))?;
        Ok(path)
    }

    /// Returns the smallest and the largest size for which the model is drawn.
    fn size_range(&self) -> (f64, f64) {
        let sizes = self.line.iter().map(|(size, _)| *size);
        (
            sizes.clone().fold(f64::INFINITY, f64::min),
            sizes.fold(0.0, f64::max),
        )
    }

    /// Returns the range of all values, including the budget, with a margin.
    fn value_range(&self) -> (f64, f64) {
        let values = self
            .line
            .iter()
            .chain(&self.points)
            .map(|(_, value)| *value)
            .chain([self.values.budget]);
        (
            values.clone().fold(f64::INFINITY, f64::min) * 0.6,
            values.fold(0.0, f64::max) * 1.8,
        )
    }

    fn draw_at(&self, path: &Path) -> Result<(), DrawError> {
        let area = SVGBackend::new(path, (760, 460)).into_drawing_area();
        area.fill(&WHITE)?;
        let (min_size, max_size) = self.size_range();
        let (min_value, max_value) = self.value_range();
        let mut chart = ChartBuilder::on(&area)
            .caption(self.title, ("sans-serif", 18))
            .margin(12)
            .x_label_area_size(42)
            .y_label_area_size(86)
            .build_cartesian_2d(
                (min_size..max_size).log_scale(),
                (min_value..max_value).log_scale(),
            )?;
        chart
            .configure_mesh()
            .light_line_style(WHITE)
            .x_desc(self.sizes.label)
            .y_desc(self.values.label)
            .label_style(("sans-serif", 13))
            .draw()?;
        self.draw_lines(&mut chart)?;
        self.draw_points(&mut chart)?;
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::UpperLeft)
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK.mix(0.3))
            .label_font(("sans-serif", 13))
            .draw()?;
        area.present()?;
        Ok(())
    }

    /// Draws lines for the budget, the model and the target size.
    fn draw_lines(&self, chart: &mut Chart<'_>) -> Result<(), DrawError> {
        let (min_size, max_size) = self.size_range();
        let (min_value, max_value) = self.value_range();
        let budget_line = [
            (min_size, self.values.budget),
            (max_size, self.values.budget),
        ];
        chart
            .draw_series(LineSeries::new(budget_line, RED.stroke_width(2)))?
            .label(format!("budget: {}", self.values.budget_name))
            .legend(|(x, y)| PathElement::new([(x, y), (x + 18, y)], RED.stroke_width(2)));
        chart
            .draw_series(LineSeries::new(
                self.line.iter().copied(),
                BLUE.stroke_width(2),
            ))?
            .label("by the slopes")
            .legend(|(x, y)| PathElement::new([(x, y), (x + 18, y)], BLUE.stroke_width(2)));
        let target_line = [
            (self.sizes.target, min_value),
            (self.sizes.target, max_value),
        ];
        chart
            .draw_series(LineSeries::new(target_line, BLACK.mix(0.4).stroke_width(1)))?
            .label("the size of two years from now")
            .legend(|(x, y)| PathElement::new([(x, y), (x + 18, y)], BLACK.mix(0.4)));
        Ok(())
    }

    fn draw_points(&self, chart: &mut Chart<'_>) -> Result<(), DrawError> {
        let circles = self
            .points
            .iter()
            .map(|point| Circle::new(*point, 4, BLACK.filled()));
        chart
            .draw_series(circles)?
            .label("measured")
            .legend(|(x, y)| Circle::new((x + 9, y), 4, BLACK.filled()));
        Ok(())
    }
}
