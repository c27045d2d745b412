#ifndef PRIMROSELEADD_VM_WIRE_H
#define PRIMROSELEADD_VM_WIRE_H

#include <primroselead/member.h>
#include <primroselead/messages.h>

/** Makes a message's VM whose texts point into the plain one. */
void vm_to_wire(const struct member_vm *vm, struct wire_vm *out);

/** Copies a message's VM. Returns 0, or -1 if it is not valid. */
int vm_from_wire(const struct wire_vm *vm, struct member_vm *out);

#endif
