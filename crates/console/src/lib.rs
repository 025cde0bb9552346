//! The operators' interface: forms, hall pictures, queues and the operator API.
//!
//! A library on `hyper`'s messages: the daemon gives each request of its operators' listener to
//! [`console::OperatorConsole::route`], which leaves paths that are not its own to the daemon.
//! Pages are rendered by the server and need no JavaScript. Instances keep nothing: a session is a
//! signed cookie that every instance accepts, and a draft travels in the form that edits it.

mod api;
mod body;
pub mod console;
mod drain;
mod fault;
mod field;
mod form;
pub mod histogram;
mod operators;
mod overlay;
mod page;
mod pages;
pub mod reply;
mod session;
mod view;
