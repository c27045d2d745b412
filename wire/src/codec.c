#include "codec.h"
#include <arpa/inet.h>
#include <rpc/rpc.h>
#include <rpc/rpc_msg.h>
#include <string.h>

int wire_decode_header(const char *data, size_t len, uint32_t *xid,
		       int *is_reply)
{
	uint32_t word[2];

	if (len < sizeof(word))
		return -1;
	memcpy(word, data, sizeof(word));
	*xid = ntohl(word[0]);
	*is_reply = ntohl(word[1]) == REPLY;
	return 0;
}

static xdrproc_t args_xdr_proc(uint32_t proc)
{
	switch (proc) {
	case WIRE_PROBE:
		return (xdrproc_t)xdr_wire_probe;
	case WIRE_INDIRECT:
		return (xdrproc_t)xdr_wire_indirect;
	case WIRE_PUSH:
		return (xdrproc_t)xdr_wire_delta;
	case WIRE_PULL:
		return (xdrproc_t)xdr_wire_pull;
	case WIRE_CLAIM:
		return (xdrproc_t)xdr_wire_claim;
	case WIRE_BORROW:
		return (xdrproc_t)xdr_wire_borrow;
	case WIRE_RETURN:
		return (xdrproc_t)xdr_wire_return;
	case WIRE_COLD:
		return (xdrproc_t)xdr_wire_cold;
	case WIRE_NEWS:
		return (xdrproc_t)xdr_wire_news_list;
	case WIRE_ISOLATION:
		return (xdrproc_t)xdr_wire_isolation;
	case WIRE_BEAT:
		return (xdrproc_t)xdr_wire_beat;
	case WIRE_CHANGES:
		return (xdrproc_t)xdr_wire_changes;
	case WIRE_QUARANTINE:
		return (xdrproc_t)xdr_wire_quarantine;
	case WIRE_LOADS:
		return (xdrproc_t)xdr_wire_load_list;
	case WIRE_REGION_LOADS:
		return (xdrproc_t)xdr_wire_region_loads;
	case WIRE_USAGE:
		return (xdrproc_t)xdr_wire_usage;
	}
	return NULL;
}

static xdrproc_t result_xdr_proc(uint32_t proc)
{
	switch (proc) {
	case WIRE_PROBE:
	case WIRE_INDIRECT:
		return (xdrproc_t)xdr_wire_ack;
	case WIRE_PUSH:
	case WIRE_RETURN:
	case WIRE_COLD:
	case WIRE_NEWS:
	case WIRE_ISOLATION:
	case WIRE_BEAT:
	case WIRE_CHANGES:
	case WIRE_LOADS:
	case WIRE_REGION_LOADS:
		return (xdrproc_t)xdr_void;
	case WIRE_PULL:
		return (xdrproc_t)xdr_wire_delta;
	case WIRE_CLAIM:
		return (xdrproc_t)xdr_wire_verdict;
	case WIRE_BORROW:
		return (xdrproc_t)xdr_wire_loan;
	case WIRE_QUARANTINE:
		return (xdrproc_t)xdr_wire_quarantine;
	case WIRE_USAGE:
		return (xdrproc_t)xdr_wire_usage_result;
	}
	return NULL;
}

size_t wire_args_size(const struct wire_args *args)
{
	return xdr_sizeof(args_xdr_proc(args->proc), (void *)&args->u);
}

size_t wire_encode_call(char *data, size_t size, uint32_t xid,
			const struct wire_args *args)
{
	xdrproc_t proc = args_xdr_proc(args->proc);
	struct rpc_msg msg = {.rm_xid = xid, .rm_direction = CALL};
	size_t len = 0;
	XDR xdr;

	msg.rm_call.cb_rpcvers = RPC_MSG_VERSION;
	msg.rm_call.cb_prog = WIRE_PROGRAM;
	msg.rm_call.cb_vers = WIRE_VERSION;
	msg.rm_call.cb_proc = args->proc;
	xdrmem_create(&xdr, data, (u_int)size, XDR_ENCODE);
	if (proc && xdr_callmsg(&xdr, &msg) && proc(&xdr, (void *)&args->u))
		len = xdr_getpos(&xdr);
	xdr_destroy(&xdr);
	return len;
}

size_t wire_encode_reply(char *data, size_t size, uint32_t xid,
			 const struct wire_result *result)
{
	struct rpc_msg msg = {.rm_xid = xid, .rm_direction = REPLY};
	size_t len = 0;
	XDR xdr;

	msg.rm_reply.rp_stat = MSG_ACCEPTED;
	msg.acpted_rply.ar_stat = SUCCESS;
	msg.acpted_rply.ar_results.proc = result_xdr_proc(result->proc);
	msg.acpted_rply.ar_results.where = (caddr_t)&result->u;
	xdrmem_create(&xdr, data, (u_int)size, XDR_ENCODE);
	if (xdr_replymsg(&xdr, &msg))
		len = xdr_getpos(&xdr);
	xdr_destroy(&xdr);
	return len;
}

static int call_is_valid(const struct rpc_msg *msg)
{
	return msg->rm_direction == CALL &&
	       msg->rm_call.cb_rpcvers == RPC_MSG_VERSION &&
	       msg->rm_call.cb_prog == WIRE_PROGRAM &&
	       msg->rm_call.cb_vers == WIRE_VERSION &&
	       args_xdr_proc(msg->rm_call.cb_proc);
}

int wire_decode_call(char *data, size_t len, struct wire_request *r,
		     struct wire_args *args)
{
	char cred[MAX_AUTH_BYTES];
	char verf[MAX_AUTH_BYTES];
	struct rpc_msg msg = {0};
	int rc = -1;
	XDR xdr;

	memset(args, 0, sizeof(*args));
	msg.rm_call.cb_cred.oa_base = cred;
	msg.rm_call.cb_verf.oa_base = verf;
	xdrmem_create(&xdr, data, (u_int)len, XDR_DECODE);
	if (xdr_callmsg(&xdr, &msg) && call_is_valid(&msg)) {
		r->xid = msg.rm_xid;
		r->proc = msg.rm_call.cb_proc;
		args->proc = r->proc;
		if (args_xdr_proc(r->proc)(&xdr, (void *)&args->u) &&
		    xdr_getpos(&xdr) == len)
			rc = 0;
	}
	xdr_destroy(&xdr);
	if (rc)
		wire_args_free(args);
	return rc;
}

void wire_args_free(struct wire_args *args)
{
	if (args_xdr_proc(args->proc))
		xdr_free(args_xdr_proc(args->proc), (char *)&args->u);
}

int wire_decode_reply(char *data, size_t len, struct wire_result *result)
{
	char verf[MAX_AUTH_BYTES];
	struct rpc_msg msg = {0};
	uint32_t proc = result->proc;
	int rc = -1;
	XDR xdr;

	memset(result, 0, sizeof(*result));
	result->proc = proc;
	msg.acpted_rply.ar_verf.oa_base = verf;
	msg.acpted_rply.ar_results.proc = result_xdr_proc(proc);
	msg.acpted_rply.ar_results.where = (caddr_t)&result->u;
	xdrmem_create(&xdr, data, (u_int)len, XDR_DECODE);
	if (xdr_replymsg(&xdr, &msg) && msg.rm_reply.rp_stat == MSG_ACCEPTED &&
	    msg.acpted_rply.ar_stat == SUCCESS && xdr_getpos(&xdr) == len)
		rc = 0;
	xdr_destroy(&xdr);
	if (rc)
		wire_result_free(result);
	return rc;
}

void wire_result_free(struct wire_result *result)
{
	if (result_xdr_proc(result->proc))
		xdr_free(result_xdr_proc(result->proc), (char *)&result->u);
}
