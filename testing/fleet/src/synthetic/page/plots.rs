//! The plots of the page.

use super::capacity_model::CapacityModel;
use super::fit::Predictor;
use super::{PageError, Run};
use plotters::prelude::*;
use std::path::{Path, PathBuf};

/// Why a plot cannot be drawn.
pub(crate) type DrawError = DrawingAreaErrorKind<std::io::Error>;

/// A plot of measured and modelled values by size, with logarithmic axes.
struct Plot {
    file: &'static str,
    title: &'static str,
    /// The label of the axis of sizes.
    sizes: &'static str,
    /// The label of the axis of values.
    values: &'static str,
    /// The target size.
    target: f64,
    /// The measured values by size.
    points: Vec<(f64, f64)>,
    /// The values of the model by size.
    line: Vec<(f64, f64)>,
    budget: f64,
    budget_name: &'static str,
}

fn log_steps(from: f64, to: f64) -> impl Iterator<Item = f64> {
    (0..=60).map(move |step| from * (to / from).powf(f64::from(step) / 60.0))
}

/// The values of a model at sizes in even logarithmic steps.
fn model_line(from: f64, to: f64, value_at: impl Fn(f64) -> f64) -> Vec<(f64, f64)> {
    log_steps(from, to)
        .map(|size| (size, value_at(size)))
        .collect()
}

/// The values of predictors at a fleet size, with a fixed rate of changes.
fn at_size(daemons: f64, functions: f64, held: f64) -> impl Fn(Predictor) -> f64 {
    move |predictor| match predictor {
        Predictor::One => 1.0,
        Predictor::Daemons => daemons,
        Predictor::Functions => functions,
        Predictor::Held | Predictor::Instances => held,
        Predictor::HeldPerDaemon => held / daemons,
        Predictor::DaemonsSquared => daemons * daemons,
        Predictor::Changes => 0.4,
        Predictor::ChangedFunctions => 0.4 * functions,
    }
}

fn in_force(run: &Run) -> Option<f64> {
    run.change_times().map(|times| times.total_ms())
}

/// Draws all plots into a folder; returns the paths of the files.
///
/// # Errors
/// Fails if a plot cannot be drawn.
pub fn draw_plots(folder: &Path, runs: &[Run]) -> Result<Vec<PathBuf>, PageError> {
    let model = CapacityModel::of(runs);
    let series = Series::of(runs);
    let plots = [
        heartbeats_by_daemons(&model, &series),
        leader_by_daemons(&model, &series),
        leader_by_functions(&model, &series),
        force_by_daemons(&model, &series),
        force_by_functions(&model, &series),
    ];
    plots.iter().map(|plot| plot.draw(folder)).collect()
}

/// The baseline runs in which only one size varies.
struct Series<'a> {
    /// With 200 functions.
    by_daemons: Vec<&'a Run>,
    /// With 50 daemons and every function held.
    by_held: Vec<&'a Run>,
    /// With 50 daemons and 200 functions held.
    by_functions: Vec<&'a Run>,
}

impl<'a> Series<'a> {
    fn of(runs: &'a [Run]) -> Self {
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

fn heartbeats_by_daemons(model: &CapacityModel, series: &Series<'_>) -> Plot {
    let bytes_at = |daemons| model.beat_bytes.line.at(at_size(daemons, 200.0, 200.0));
    Plot {
        file: "bytes-at-a-daemon.svg",
        title: "Heartbeat bytes at a daemon",
        sizes: "daemons",
        values: "bytes a second, sent and heard",
        target: 740.0,
        points: series
            .by_daemons
            .iter()
            .map(|run| (run.daemons(), run.heartbeat_bytes()))
            .collect(),
        line: model_line(40.0, 900.0, bytes_at),
        budget: 5_000.0,
        budget_name: "5 KB/s",
    }
}

fn leader_by_daemons(model: &CapacityModel, series: &Series<'_>) -> Plot {
    let busy_at = |daemons| model.leader_busy(&at_size(daemons, 200.0, 200.0));
    Plot {
        file: "leader-by-daemons.svg",
        title: "Processor time at the leader, 200 functions",
        sizes: "daemons",
        values: "microseconds a second",
        target: 740.0,
        points: series
            .by_daemons
            .iter()
            .map(|run| (run.daemons(), run.leader_busy()))
            .collect(),
        line: model_line(40.0, 900.0, busy_at),
        budget: 1e6,
        budget_name: "one core",
    }
}

fn leader_by_functions(model: &CapacityModel, series: &Series<'_>) -> Plot {
    let busy_at = |functions| model.leader_busy(&at_size(50.0, functions, functions));
    Plot {
        file: "leader-by-functions.svg",
        title: "Processor time at the leader, 50 daemons, every function held",
        sizes: "functions held, one runner each",
        values: "microseconds a second",
        target: 15_000.0,
        points: series
            .by_held
            .iter()
            .map(|run| (run.number("held"), run.leader_busy()))
            .collect(),
        line: model_line(150.0, 18_000.0, busy_at),
        budget: 1e6,
        budget_name: "one core",
    }
}

fn force_by_daemons(model: &CapacityModel, series: &Series<'_>) -> Plot {
    let force_at = |daemons| model.force_ms(&at_size(daemons, 200.0, 200.0));
    Plot {
        file: "force-by-daemons.svg",
        title: "A change in force, 200 functions",
        sizes: "daemons",
        values: "milliseconds",
        target: 740.0,
        points: series
            .by_daemons
            .iter()
            .filter_map(|run| Some((run.daemons(), in_force(run)?)))
            .collect(),
        line: model_line(40.0, 900.0, force_at),
        budget: 5_000.0,
        budget_name: "5 s",
    }
}

fn force_by_functions(model: &CapacityModel, series: &Series<'_>) -> Plot {
    let force_at = |functions| model.force_ms(&at_size(50.0, functions, 200.0));
    Plot {
        file: "force-by-functions.svg",
        title: "A change in force, 50 daemons, 200 functions held",
        sizes: "functions in the spec",
        values: "milliseconds",
        target: 15_000.0,
        points: series
            .by_functions
            .iter()
            .filter_map(|run| Some((run.number("functions"), in_force(run)?)))
            .collect(),
        line: model_line(150.0, 18_000.0, force_at),
        budget: 5_000.0,
        budget_name: "5 s",
    }
}

impl Plot {
    fn draw(&self, folder: &Path) -> Result<PathBuf, PageError> {
        let path = folder.join(self.file);
        let drawn = self.draw_at(&path);
        drawn.map_err(|error| PageError::Plot(path.clone(), error))?;
        Ok(path)
    }

    /// The smallest and the largest size of the model's line.
    fn size_range(&self) -> (f64, f64) {
        let sizes = self.line.iter().map(|(size, _)| *size);
        (
            sizes.clone().fold(f64::INFINITY, f64::min),
            sizes.fold(0.0, f64::max),
        )
    }

    /// The range of all values and the budget, with a margin.
    fn value_range(&self) -> (f64, f64) {
        let values = self
            .line
            .iter()
            .chain(&self.points)
            .map(|(_, value)| *value)
            .chain([self.budget]);
        (
            values.clone().fold(f64::INFINITY, f64::min) * 0.6,
            values.fold(0.0, f64::max) * 1.8,
        )
    }

    fn draw_at(&self, path: &Path) -> Result<(), DrawError> {
        let area = SVGBackend::new(path, (760, 460)).into_drawing_area();
        area.fill(&WHITE)?;
        let (least, most) = self.size_range();
        let (lowest, highest) = self.value_range();
        let mut chart = ChartBuilder::on(&area)
            .caption(self.title, ("sans-serif", 18))
            .margin(12)
            .x_label_area_size(42)
            .y_label_area_size(86)
            .build_cartesian_2d((least..most).log_scale(), (lowest..highest).log_scale())?;
        chart
            .configure_mesh()
            .light_line_style(WHITE)
            .x_desc(self.sizes)
            .y_desc(self.values)
            .label_style(("sans-serif", 13))
            .draw()?;
        let budget_line = [(least, self.budget), (most, self.budget)];
        chart
            .draw_series(LineSeries::new(budget_line, RED.stroke_width(2)))?
            .label(format!("budget: {}", self.budget_name))
            .legend(|(x, y)| PathElement::new([(x, y), (x + 18, y)], RED.stroke_width(2)));
        chart
            .draw_series(LineSeries::new(
                self.line.iter().copied(),
                BLUE.stroke_width(2),
            ))?
            .label("by the slopes")
            .legend(|(x, y)| PathElement::new([(x, y), (x + 18, y)], BLUE.stroke_width(2)));
        let target_line = [(self.target, lowest), (self.target, highest)];
        chart
            .draw_series(LineSeries::new(target_line, BLACK.mix(0.4).stroke_width(1)))?
            .label("the size of two years from now")
            .legend(|(x, y)| PathElement::new([(x, y), (x + 18, y)], BLACK.mix(0.4)));
        chart
            .draw_series(
                self.points
                    .iter()
                    .map(|point| Circle::new(*point, 4, BLACK.filled())),
            )?
            .label("measured")
            .legend(|(x, y)| Circle::new((x + 9, y), 4, BLACK.filled()));
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
}
