//! The plots of the page.

use super::capacity_model::CapacityModel;
use super::fit::Predictor;
use super::{PageError, Run};
use plotters::prelude::*;
use std::path::{Path, PathBuf};

/// Why a plot cannot be drawn.
pub type DrawError = DrawingAreaErrorKind<std::io::Error>;

struct Plot<'a> {
    file: &'a str,
    title: &'a str,
    sizes: &'a str,
    values: &'a str,
    target: f64,
    points: Vec<(f64, f64)>,
    line: Vec<(f64, f64)>,
    budget: f64,
    budget_name: &'a str,
}

fn log_steps(from: f64, to: f64) -> impl Iterator<Item = f64> {
    (0..=60).map(move |step| from * (to / from).powf(f64::from(step) / 60.0))
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
pub fn draw_plots(folder: &Path, runs: &[Run]) -> Result<Vec<PathBuf>, PageError> {
    let capacity_model = CapacityModel::of(runs);
    let baseline_runs: Vec<&Run> = runs.iter().filter(|run| run.is_baseline()).collect();
    let by_daemon_runs: Vec<&Run> = baseline_runs
        .iter()
        .copied()
        .filter(|run| run.number("functions") == 200.0)
        .collect();
    let held: Vec<&Run> = baseline_runs
        .iter()
        .copied()
        .filter(|run| {
            run.daemons() == 50.0
                && run.number("runners") == 1.0
                && run.number("functions") == run.number("held_wanted")
        })
        .collect();
    let by_function_runs: Vec<&Run> = baseline_runs
        .iter()
        .copied()
        .filter(|run| run.daemons() == 50.0 && run.number("held_wanted") == 200.0)
        .collect();
    let plots = [
        Plot {
            file: "bytes-at-a-daemon.svg",
            title: "Heartbeat bytes at a daemon",
            sizes: "daemons",
            values: "bytes a second, sent and heard",
            target: 740.0,
            points: by_daemon_runs
                .iter()
                .map(|run| (run.daemons(), run.heartbeat_bytes()))
                .collect(),
            line: log_steps(40.0, 900.0)
                .map(|size| {
                    (
                        size,
                        capacity_model
                            .beat_bytes
                            .line
                            .at(at_size(size, 200.0, 200.0)),
                    )
                })
                .collect(),
            budget: 5_000.0,
            budget_name: "5 KB/s",
        },
        Plot {
            file: "leader-by-daemons.svg",
            title: "Processor time at the leader, 200 functions",
            sizes: "daemons",
            values: "microseconds a second",
            target: 740.0,
            points: by_daemon_runs
                .iter()
                .map(|run| (run.daemons(), run.leader_busy()))
                .collect(),
            line: log_steps(40.0, 900.0)
                .map(|size| {
                    (
                        size,
                        capacity_model.leader_busy(&at_size(size, 200.0, 200.0)),
                    )
                })
                .collect(),
            budget: 1e6,
            budget_name: "one core",
        },
        Plot {
            file: "leader-by-functions.svg",
            title: "Processor time at the leader, 50 daemons, every function held",
            sizes: "functions held, one runner each",
            values: "microseconds a second",
            target: 15_000.0,
            points: held
                .iter()
                .map(|run| (run.number("held"), run.leader_busy()))
                .collect(),
            line: log_steps(150.0, 18_000.0)
                .map(|size| (size, capacity_model.leader_busy(&at_size(50.0, size, size))))
                .collect(),
            budget: 1e6,
            budget_name: "one core",
        },
        Plot {
            file: "force-by-daemons.svg",
            title: "A change in force, 200 functions",
            sizes: "daemons",
            values: "milliseconds",
            target: 740.0,
            points: by_daemon_runs
                .iter()
                .filter_map(|run| Some((run.daemons(), in_force(run)?)))
                .collect(),
            line: log_steps(40.0, 900.0)
                .map(|size| (size, capacity_model.force_ms(&at_size(size, 200.0, 200.0))))
                .collect(),
            budget: 5_000.0,
            budget_name: "5 s",
        },
        Plot {
            file: "force-by-functions.svg",
            title: "A change in force, 50 daemons, 200 functions held",
            sizes: "functions in the spec",
            values: "milliseconds",
            target: 15_000.0,
            points: by_function_runs
                .iter()
                .filter_map(|run| Some((run.number("functions"), in_force(run)?)))
                .collect(),
            line: log_steps(150.0, 18_000.0)
                .map(|size| (size, capacity_model.force_ms(&at_size(50.0, size, 200.0))))
                .collect(),
            budget: 5_000.0,
            budget_name: "5 s",
        },
    ];
    plots.iter().map(|plot| plot.draw(folder)).collect()
}

impl Plot<'_> {
    fn draw(&self, folder: &Path) -> Result<PathBuf, PageError> {
        let path = folder.join(self.file);
        let drawn = self.draw_at(&path);
        drawn.map_err(|error| PageError::Plot(path.clone(), error))?;
        Ok(path)
    }

    fn draw_at(&self, path: &Path) -> Result<(), DrawError> {
        let area = SVGBackend::new(path, (760, 460)).into_drawing_area();
        area.fill(&WHITE)?;
        let sizes = self.line.iter().map(|(size, _)| *size);
        let (least, most) = (
            sizes.clone().fold(f64::INFINITY, f64::min),
            sizes.fold(0.0, f64::max),
        );
        let values = self
            .line
            .iter()
            .chain(&self.points)
            .map(|(_, value)| *value)
            .chain([self.budget]);
        let (lowest, highest) = (
            values.clone().fold(f64::INFINITY, f64::min) * 0.6,
            values.fold(0.0, f64::max) * 1.8,
        );
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
