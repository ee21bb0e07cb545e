//! Drains of VMs and shutdown of a daemon at an operator's request.

use gl_model::{id, key, txn};
use gl_platform::Table as _;
use ntex::web;

use super::{Context, Fault, Kind, access};
use crate::{clock, shutdown};

/// Starts a graceful shutdown of this daemon.
pub async fn daemon(
    request: web::HttpRequest,
    context: web::types::State<Context>,
) -> web::HttpResponse {
    if let Some(refusal) = access::refusal(&context, &request) {
        return refusal;
    }
    shutdown::request_stop(&context.node);
    web::HttpResponse::Ok().json(&context.node.me.id)
}

/// Drains a VM: it gets no new work, and its tasks are moved away.
pub async fn vm(
    request: web::HttpRequest,
    vm: web::types::Path<String>,
    context: web::types::State<Context>,
) -> web::HttpResponse {
    let vm = id::VmId(vm.into_inner());
    let is_known = context.node.vm_list.lock().vms.iter().any(|known| known.id == vm);
    if !is_known {
        let message = format!("no VM is called `{vm}`; `geraniumlatch status` lists all");
        return Fault::response(Kind::NotFound, &message);
    }
    write(&request, &context, &vm, Some("true".to_owned())).await
}

/// Ends the drain of a VM.
pub async fn undo(
    request: web::HttpRequest,
    vm: web::types::Path<String>,
    context: web::types::State<Context>,
) -> web::HttpResponse {
    write(&request, &context, &id::VmId(vm.into_inner()), None).await
}

async fn write(
    request: &web::HttpRequest,
    context: &Context,
    vm: &id::VmId,
    value: Option<String>,
) -> web::HttpResponse {
    if let Some(refusal) = access::refusal(context, request) {
        return refusal;
    }
    let key = key::drain(vm);
    let id = id::TxnId(format!("{key}/{}/{}", context.node.me.id, clock::now().0));
    let writes = vec![txn::Write { key, value }];
    match context.platform.transact(&txn::Txn { id, checks: Vec::new(), writes }).await {
        Ok(_) => web::HttpResponse::Ok().json(vm),
        Err(error) if error.had_no_effect() => Fault::platform_error(&error),
        Err(error) => Fault::outcome_unknown(&error),
    }
}
