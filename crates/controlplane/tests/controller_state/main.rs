//! Whole controllers without I/O: founding, passing on, replacement, operators' numbers and items, and
//! the product's own words for them.

mod fleet;
mod founding;
mod numbers;
mod orders;
mod tongue;
