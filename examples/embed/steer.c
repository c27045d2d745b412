/* Uses the steer package on its own, without a daemon, sockets or a store.
 * Prints which entry VMs three callers should use and with which weights in
 * permille, before and after one VM leaves. */
#include <primroselead/hash.h>
#include <primroselead/steer.h>
#include <stdio.h>
#include <string.h>

/* Two VMs in region 0, in different failure domains, and one in region 1. */
static struct steer_vm vm[] = {
	{.region = 0, .domain = 0, .address = "127.0.0.1:8001"},
	{.region = 0, .domain = 1, .address = "127.0.0.1:8002"},
	{.region = 1, .domain = 2, .address = "127.0.0.1:8003"},
};

static void print_answer(const struct steer_view *v, const char *caller)
{
	struct steer_lookup_request request = {.block =
						       prl_hash_string(caller)};
	struct steer_lookup_answer answer;

	steer_lookup(v, &request, &answer);
	printf("%s:", caller);
	for (int i = 0; i < answer.n; i++)
		printf(" %s (%d)", v->vm[answer.entry[i].vm].address,
		       answer.entry[i].weight_permille);
	printf("\n");
}

int main(void)
{
	static struct steer_service service = {.name = "quotes"};
	struct steer_service *services[] = {&service};
	struct steer_view view = {.nregion = 2,
				  .vm = vm,
				  .nvm = 3,
				  .service = services,
				  .nservice = 1,
				  .first_vm = {0, 2}};
	/* Blocks of caller addresses; each block is hashed to its VMs. */
	const char *const callers[] = {"10.1.2.0/24", "10.1.3.0/24",
				       "10.9.9.0/24"};

	/* Region r has vm[first_vm[r]] to vm[first_vm[r + 1] - 1]. */
	for (int r = 2; r <= STEER_REGIONS_MAX; r++)
		view.first_vm[r] = 3;
	for (int i = 0; i < 3; i++)
		vm[i].id = prl_hash_string(vm[i].address);
	for (int i = 0; i < 3; i++)
		print_answer(&view, callers[i]);
	vm[0].state = STEER_LEAVING;
	printf("%s leaves\n", vm[0].address);
	for (int i = 0; i < 3; i++)
		print_answer(&view, callers[i]);
	return 0;
}
