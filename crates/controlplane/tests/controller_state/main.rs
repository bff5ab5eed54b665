//! Whole controllers without I/O: founding, passing on, replacement, operators' numbers and items, and
//! the product's own words for them.

mod change_numbering;
mod cluster;
mod founding;
mod operator_api;
mod operator_changes;
