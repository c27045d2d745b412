#include "command.h"
#include <argtable2.h>
#include <stdio.h>

int command_lookup(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_str *vm =
		arg_str1(NULL, "vm", "ADDRESS", "HTTP address of any entry VM");
	struct arg_str *region =
		arg_str0(NULL, "region", "NAME", "region of the caller");
	struct arg_str *name = arg_str1(NULL, NULL, "SERVICE", "the service");
	struct arg_end *end = arg_end(8);
	void *table[] = {help, vm, region, name, end};
	struct command c = {0};
	char path[256];
	char *text;
	int status;

	if (!command_parse_options(
		    argc, argv, table,
		    "Asks a VM which entry VMs to use; prints its JSON "
		    "answer.",
		    &status))
		return status;
	if (command_init(&c, NULL))
		return command_report_error(&c.err);
	snprintf(path, sizeof(path), "/-/lookup?service=%s%s%s", name->sval[0],
		 region->count ? "&region=" : "",
		 region->count ? region->sval[0] : "");
	if (command_fetch_page(&c, vm->sval[0], path, &text))
		status = command_report_error(&c.err);
	else
		printf("%s", text);
	command_finish(&c);
	arg_freetable(table, 5);
	return status;
}
