#ifndef PRIMROSELEADD_VM_WIRE_H
#define PRIMROSELEADD_VM_WIRE_H

#include <primroselead/member.h>
#include <primroselead/messages.h>

/** Fills a wire_vm whose strings point into "vm"; nothing is copied. */
void vm_to_wire(const struct member_vm *vm, struct wire_vm *out);

/**
 * Copies a wire_vm. Returns 0, or -1 if its name is empty, its state unknown or
 * an address invalid.
 */
int vm_from_wire(const struct wire_vm *vm, struct member_vm *out);

#endif
