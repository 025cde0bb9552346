//! `almondpass config get`

use std::io::Write;

use almondpass_config::canonical;
use almondpass_schema::{ids, model};

use crate::arguments;
use crate::error;
use crate::operator;
use crate::printer;
use crate::table;

/// Arguments of `config get`.
#[derive(Clone, Debug, clap::Args)]
pub(crate) struct GetArgs {
    /// This accepted version instead of the one in force.
    #[arg(long, value_name = "NUMBER")]
    version: Option<ids::ConfigVersion>,
    /// Shows on which instance which version is in force, instead of the document.
    #[arg(long, conflicts_with = "version")]
    instances: bool,
    #[command(flatten)]
    operator: arguments::OperatorArgs,
}

pub(crate) async fn run<O: Write>(
    args: GetArgs,
    common: &arguments::CommonArgs,
    printer: &mut printer::OutputPrinter<'_, O>,
) -> Result<(), error::Error> {
    let client = operator::OperatorClient::new(common, &args.operator)?;
    if let Some(version) = args.version {
        let row = client.config_version(version).await?;
        printer.print(&row, |it| document_text(it.version, &it.document))?;
        return Ok(());
    }
    let current = client.config().await?;
    if args.instances {
        printer.print(&current.instances, |it| instances_text(it))?;
    } else {
        printer.print(&current, |it| match &it.document {
            Some(document) => document_text(it.version, document),
            None => "# no version is in force".to_owned(),
        })?;
    }
    Ok(())
}

/// The document as YAML, in the form that the console shows; the comment tells which `--base` a
/// change of it needs.
fn document_text(version: ids::ConfigVersion, document: &model::ConfigDocument) -> String {
    format!("# version {version}\n{}", canonical::to_yaml(document))
}

fn instances_text(instances: &[model::InstanceConfig]) -> String {
    let mut table = table::with_header(["instance", "version", "leaving"]);
    for instance in instances {
        table.add_row([
            instance.instance.clone(),
            instance.version.to_string(),
            if instance.leaving { "yes" } else { "no" }.to_owned(),
        ]);
    }
    table::text(&table)
}
