#include "vm_wire.h"
#include <stdio.h>
#include <string.h>

void vm_to_wire(const struct member_vm *vm, struct wire_vm *out)
{
	out->name = (char *)vm->name;
	out->region = (char *)vm->region;
	out->domain = (char *)vm->domain;
	out->http = (char *)vm->http;
	out->rpc = (char *)vm->rpc;
	out->incarnation = vm->incarnation;
	out->state = (int)vm->state;
}

int vm_from_wire(const struct wire_vm *vm, struct member_vm *out)
{
	struct sockaddr_storage addr;
	socklen_t len;

	if (!*vm->name || vm->state < MEMBER_LIVE || vm->state > MEMBER_DEAD ||
	    prl_address_parse(vm->rpc, &addr, &len) ||
	    prl_address_parse(vm->http, &addr, &len))
		return -1;
	memset(out, 0, sizeof(*out));
	snprintf(out->name, sizeof(out->name), "%s", vm->name);
	snprintf(out->region, sizeof(out->region), "%s", vm->region);
	snprintf(out->domain, sizeof(out->domain), "%s", vm->domain);
	snprintf(out->http, sizeof(out->http), "%s", vm->http);
	snprintf(out->rpc, sizeof(out->rpc), "%s", vm->rpc);
	out->incarnation = vm->incarnation;
	out->state = (enum member_state)vm->state;
	return 0;
}
