/** Runs a case by its name; a case that could not run ends with 2. */
final class Main {
    public static void main(String[] args) {
        try {
            String[] folder = {args[1]};
            switch (args[0]) {
                case "LargeSegment" -> LargeSegment.main(folder);
                case "ManyLots" -> ManyLots.main(folder);
                case "LateRegistration" -> LateRegistration.main(folder);
                default -> throw new IllegalArgumentException("no case " + args[0]);
            }
        } catch (Throwable e) {
            e.printStackTrace();
        }
        System.exit(2);
    }
}
