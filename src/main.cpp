// Chooses the subcommand.
int main()
{
    return 0;
}
