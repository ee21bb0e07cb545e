//! Keeping VMs from new work at an operator's request.

use gl_model::{id, key, txn};
use gl_platform::Table as _;
use ntex::web;

use super::{Desk, Fault, Kind, access};
use crate::{clock, shutdown};

/// Stops this daemon gracefully.
pub async fn daemon(request: web::HttpRequest, desk: web::types::State<Desk>) -> web::HttpResponse {
    if let Some(refusal) = access::refusal(&desk, &request) {
        return refusal;
    }
    shutdown::ask(&desk.node);
    web::HttpResponse::Ok().json(&desk.node.me.id)
}

/// Keeps a VM from new work and moves its tasks away.
pub async fn vm(
    request: web::HttpRequest,
    vm: web::types::Path<String>,
    desk: web::types::State<Desk>,
) -> web::HttpResponse {
    let vm = id::VmId(vm.into_inner());
    let is_known = desk.node.list.lock().vms.iter().any(|known| known.id == vm);
    if !is_known {
        let message = format!("no VM is called `{vm}`; `geraniumlatch status` lists all");
        return Fault::answer(Kind::Missing, &message);
    }
    write(&request, &desk, &vm, Some("true".to_owned())).await
}

/// Lets a VM have new work again.
pub async fn undo(
    request: web::HttpRequest,
    vm: web::types::Path<String>,
    desk: web::types::State<Desk>,
) -> web::HttpResponse {
    write(&request, &desk, &id::VmId(vm.into_inner()), None).await
}

async fn write(
    request: &web::HttpRequest,
    desk: &Desk,
    vm: &id::VmId,
    value: Option<String>,
) -> web::HttpResponse {
    if let Some(refusal) = access::refusal(desk, request) {
        return refusal;
    }
    let key = key::drain(vm);
    let id = id::TxnId(format!("{key}/{}/{}", desk.node.me.id, clock::now().0));
    let writes = vec![txn::Write { key, value }];
    match desk.platform.transact(&txn::Txn { id, checks: Vec::new(), writes }).await {
        Ok(_) => web::HttpResponse::Ok().json(vm),
        Err(error) if error.had_no_effect() => Fault::platform(&error),
        Err(error) => Fault::open(&error),
    }
}
